# Settings of the model's days: boards, reports and loads on one kind of machine.
default_class = "board"
zone          = "a"

roster {
  eds = "127.0.0.1:1"
}

engines {
  may_probe = true
  report_fields = ["concurrent", "x0"]
}

rules {
  answer_grace     = "250ms"
  drain_grace      = "2s"
  cold_from        = 0.31
  cold_for         = "15s"
  cold_multiple    = 3
  cold_window      = "1s"
  order_rest       = "300ms"
  budget_free      = 5
  budget_share     = 0.2
  budget_look_back = "10s"
}

limits {
  max_attempts  = 4
  max_come_back = "2s"
}

kind "std" {
  cores     = 16
  memory_mb = 65536
}

class "board" {
  aim      = "1s"
  deadline = "5s"
  worth    = 1
  effect   = "safe"
  threads  = 2
}

class "report" {
  aim        = "10s"
  deadline   = "30s"
  worth      = 5
  late_value = 0.5
  effect     = "safe"
  threads    = 4
}
