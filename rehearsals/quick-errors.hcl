title  = "three engines fail most of what they get at once, one cuts its answers"
length = "60s"
short  = 0.25
base   = "search"

trouble "errors" {
  at      = "10s"
  for     = "25s"
  engines = [1, 3, 6]
  size    = 0.7
}

trouble "cut" {
  at      = "15s"
  for     = "25s"
  engines = [5]
  size    = 0.4
}

expect "lookup" {
  served = 0.8
}
