title  = "ten dispatchers that talk: one killed, all rolled, half of them return, a deploy meanwhile"
length = "100s"
short  = 0.3
base   = "search"
talk   = "ask"

fleet {
  engines     = 8
  dispatchers = 10
  memory_mb   = 4096
  kinds       = ["std", "std", "std", "big"]
  zones       = 2
}

trouble "kill" {
  at         = "10s"
  for        = "2s"
  dispatcher = 4
}

trouble "deploy" {
  at      = "20s"
  for     = "16s"
  engines = [0, 2]
}

trouble "return" {
  at  = "45s"
  for = "1s"
}

trouble "roll" {
  at  = "60s"
  for = "30s"
}
