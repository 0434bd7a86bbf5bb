title  = "answers never come from three engines, cancels are taken late"
length = "60s"
short  = 0.25
base   = "search"

trouble "lost" {
  at      = "10s"
  for     = "30s"
  engines = [0, 2, 4]
  size    = 0.25
}

trouble "slow-cancel" {
  at      = "10s"
  for     = "30s"
  engines = [0, 2]
  size    = 0.4
}

expect "lookup" {
  served = 0.8
}
