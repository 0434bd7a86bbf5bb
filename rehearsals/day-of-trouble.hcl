title  = "a slow engine, a crash mid-answer, a drain, the roster out of reach, a dispatcher killed, a burst"
length = "120s"
short  = 0.15
base   = "search"

trouble "slow" {
  at      = "10s"
  for     = "20s"
  engines = [0]
  size    = 4
}

trouble "mid-answer" {
  at      = "20s"
  for     = "10s"
  engines = [1]
  size    = 3
}

trouble "drain" {
  at      = "35s"
  for     = "8s"
  engines = [2]
}

trouble "roster-away" {
  at  = "45s"
  for = "25s"
}

trouble "crash" {
  at      = "50s"
  for     = "10s"
  engines = [3]
}

trouble "kill" {
  at         = "55s"
  for        = "4s"
  dispatcher = 1
}

trouble "burst" {
  at   = "80s"
  for  = "15s"
  size = 3
}

trouble "lost" {
  at      = "98s"
  for     = "10s"
  engines = [4, 5]
  size    = 0.2
}

trouble "give-up" {
  at   = "100s"
  for  = "12s"
  size = 0.3
}

trouble "slow-cancel" {
  at      = "98s"
  for     = "16s"
  engines = [4, 6]
  size    = 0.4
}
