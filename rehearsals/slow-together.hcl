title  = "all engines slow down together while a tail of the queries is heavy"
length = "60s"
short  = 0.25
base   = "search"

trouble "shared" {
  at   = "12s"
  for  = "20s"
  size = 2.5
}

trouble "heavy-tail" {
  at   = "20s"
  for  = "25s"
  size = 10
}

expect "lookup" {
  served = 0.7
}
