title  = "a third of the engines is deployed in turn and a dispatcher rolled, under transactions"
length = "60s"
short  = 0.25
base   = "search"

traffic "write" {
  rate    = 8
  work_ms = 80
  session = true
}

trouble "deploy" {
  at      = "8s"
  for     = "30s"
  engines = [0, 2, 4]
}

trouble "kill" {
  at         = "44s"
  for        = "1s"
  dispatcher = 2
}
