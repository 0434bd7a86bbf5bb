# Every key, each with a value other than its default.
listen          = "127.0.0.1:16432"
max_clients     = 101
startup_timeout = "11s"
hold_back       = 102
hold_back_total = 103
max_message     = 104
max_pending     = 105
max_input_memory = 124
client_buffer   = 106

seed     = 107
ordinal  = 1
gateways = 3
zone     = "z1"
tick     = "6ms"

state             = "/var/lib/cresspass"
state_every       = "12s"
pid_file          = "/run/cresspass.pid"
health            = "127.0.0.1:16433"
takeover          = "/run/cresspass.sock"
drain_for         = "13s"
max_held          = 108
max_answer_memory = 109
max_per_user      = 110
lag_limit         = "51ms"
default_class     = "lookup"
write_class       = "load"
describe_class    = "report"

log {
  level  = "debug"
  format = "json"
}

roster {
  eds     = "127.0.0.1:16434"
  service = "search"
  cache   = "/var/cache/cresspass/list"
}

engines {
  user            = "u1"
  database        = "d1"
  max_connections = 111
  connect_timeout = "1100ms"
  cancel_timeout  = "2100ms"
  idle_timeout    = "61s"
  max_prepared    = 112
  takes_grants    = true
  takes_priority  = true
  max_grant_share = 0.5
  when_short      = "shrink"
  progress_every  = "2s"
  report_fields   = ["concurrent", "x0"]
  may_probe       = true
}

rules {
  answer_grace     = "251ms"
  drain_grace      = "2001ms"
  cold_from        = 0.31
  cold_for         = "15s"
  cold_multiple    = 3
  cold_window      = "3s"
  order_rest       = "501ms"
  budget_free      = 4.5
  budget_share     = 0.2
  budget_look_back = "9s"
}

limits {
  max_attempts  = 5
  max_come_back = "1001ms"
}

sessions {
  idle_in_transaction = "31s"
  max_age             = "32s"
  max                 = 113
  max_per_user        = 114
  max_per_engine      = 115
  harmless            = ["geo_*", "Hash"]
}

flight {
  listen             = "127.0.0.1:16435"
  ticket_life        = "62s"
  session_rest       = "31m"
  keep_alive         = "121s"
  max_connection_age = "1h"
  max_tickets        = 116
  max_streams        = 117
  max_transactions   = 118
  max_prepared       = 119
  max_waiting        = 120
}

shares {
  postgresql = 0.4
  flight     = 0.3
}

peers {
  listen = "127.0.0.1:16436"
  name   = "n1"
  seeds  = ["127.0.0.1:16437", "127.0.0.1:16438"]
  keys   = ["00112233445566778899aabbccddeeff", "000102030405060708090a0b0c0d0e0f1011121314151617"]
  rate   = 121
  wait   = "1002ms"
}

record {
  dir      = "/var/lib/cresspass/recordings"
  file_mb  = 2
  total_mb = 5
}

class "lookup" {
  aim          = "1500ms"
  aim_stretch  = 2.5
  deadline     = "7500ms"
  worth        = 3
  late_value   = 0.25
  effect       = "safe"
  on_kinds     = ["std"]
  in_zones     = ["z1", "z2"]
  threads      = 2
  waits        = true
}

class "load" {
  aim      = "4s"
  deadline = "25s"
  effect   = "keyed"
  scope    = "zone"
  window   = "15s"
  in_order = true
  loads    = true
}

class "report" {
  aim      = "3s"
  deadline = "20s"
  effect   = "safe"
  scope    = "cell"
}

class "write" {
  aim      = "3s"
  deadline = "20s"
  effect   = "unsafe"
  scope    = "all"
}

kind "std" {
  cores     = 8
  memory_mb = 4096
}

kind "big" {
  cores = 64
}

tenant "alu" {
  quota = 5
  share = 0.5
}

match {
  class            = "load"
  user             = "u2"
  database         = "d2"
  application_name = "a2"
  pattern          = "(?i)^insert"
  tenant           = "alu"
}

match {
  tenant = "alu"
  user   = "u3"
}
