title  = "half of the clients speak Flight SQL: a deploy, a crash, a dispatcher killed, hurried clients"
length = "60s"
short  = 0.3
base   = "search"
flight = 0.5

traffic "write" {
  rate    = 6
  work_ms = 80
  session = true
}

trouble "deploy" {
  at      = "6s"
  for     = "18s"
  engines = [0, 3]
}

trouble "crash" {
  at      = "28s"
  for     = "4s"
  engines = [1]
}

trouble "give-up" {
  at   = "35s"
  for  = "10s"
  size = 0.3
}

trouble "kill" {
  at         = "48s"
  for        = "1s"
  dispatcher = 1
}
