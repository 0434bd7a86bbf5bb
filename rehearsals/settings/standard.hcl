# Settings of the days: a code search with five classes on two kinds of machine.
default_class = "lookup"
write_class   = "write"
zone          = "a"
hold_back     = 4096

roster {
  eds = "127.0.0.1:1"
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
  answer_grace     = "250ms"
  drain_grace      = "2s"
  cold_from        = 0.31
  cold_for         = "15s"
  cold_multiple    = 3
  cold_window      = "3s"
  order_rest       = "500ms"
  budget_free      = 10
  budget_share     = 0.2
  budget_look_back = "10s"
}

kind "std" {
  cores     = 8
  memory_mb = 4096
}

kind "big" {
  cores     = 12
  memory_mb = 8192
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
  deadline    = "15s"
  worth       = 3
  threads     = 2
  effect      = "safe"
}

class "index-load" {
  aim         = "4s"
  aim_stretch = 3
  deadline    = "20s"
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

# Audits read what only the big machines hold.
class "audit" {
  aim         = "3s"
  aim_stretch = 2.5
  deadline    = "15s"
  worth       = 2
  effect      = "safe"
  on_kinds    = ["big"]
}
