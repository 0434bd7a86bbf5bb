# Settings of the demo: four classes of a code search on engines of one kind.
default_class = "lookup"
write_class   = "write"
zone          = "a"

roster {
  eds = "127.0.0.1:18000" # the demo replaces it by the address of its own service
}

engines {
  takes_grants    = true
  takes_priority  = true
  max_grant_share = 0.5
  when_short      = "shrink"
  progress_every  = "2s"
  report_fields   = ["concurrent", "x0"]
  may_probe       = true
}

rules {
  drain_grace   = "2s"
  cold_from     = 0.31
  cold_for      = "15s"
  cold_multiple = 3
  cold_window   = "3s"
  order_rest    = "500ms"
}

kind "std" {
  cores     = 8
  memory_mb = 4096
}

class "lookup" {
  aim         = "1.5s"
  aim_stretch = 2
  deadline    = "7.5s"
  effect      = "safe"
}

class "report" {
  aim         = "3s"
  aim_stretch = 2.5
  deadline    = "20s"
  worth       = 3
  threads     = 2
  effect      = "safe"
}

class "index-load" {
  aim         = "4s"
  aim_stretch = 3
  deadline    = "25s"
  worth       = 8
  threads     = 2
  effect      = "keyed"
  window      = "15s"
  in_order    = true
  loads       = true
}

class "write" {
  aim         = "4s"
  aim_stretch = 3
  deadline    = "20s"
  worth       = 8
  effect      = "unsafe"
}
