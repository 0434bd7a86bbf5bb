title  = "the dispatchers are stopped and started one after another under load"
length = "60s"
short  = 0.25
base   = "search"

trouble "roll" {
  at  = "12s"
  for = "30s"
}

trouble "burst" {
  at   = "20s"
  for  = "10s"
  size = 1.5
}

expect "lookup" {
  served = 0.7
}
