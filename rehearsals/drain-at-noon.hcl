title  = "three engines drain and one dies while transactions are under way"
length = "60s"
short  = 0.25
base   = "search"

traffic "write" {
  rate    = 8
  work_ms = 80
  session = true
}

trouble "drain" {
  at      = "12s"
  for     = "6s"
  engines = [0, 3]
}

trouble "drain" {
  at      = "30s"
  for     = "6s"
  engines = [5]
}

trouble "crash" {
  at      = "42s"
  for     = "6s"
  engines = [1]
}
