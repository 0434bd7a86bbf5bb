title  = "a third of the clients gives up early, engines hang and cut answers, reports are late"
length = "60s"
short  = 0.25
base   = "search"

trouble "give-up" {
  at   = "8s"
  for  = "40s"
  size = 0.35
}

trouble "hang" {
  at      = "15s"
  for     = "12s"
  engines = [2]
}

trouble "reports-late" {
  at      = "10s"
  for     = "30s"
  engines = [0, 1, 2, 3, 4, 5, 6, 7]
  size    = 5
}

trouble "garbage" {
  at      = "30s"
  for     = "10s"
  engines = [4]
}

expect "lookup" {
  served = 0.7
}
