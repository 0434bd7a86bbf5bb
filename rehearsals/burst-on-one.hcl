title  = "one dispatcher gets most of twice the traffic within a tenth of a second"
length = "60s"
short  = 0.25
base   = "search"

trouble "hot" {
  at         = "15s"
  for        = "20s"
  dispatcher = 0
  size       = 0.8
}

trouble "burst" {
  at   = "15s"
  for  = "12s"
  size = 2
}

expect "lookup" {
  served = 0.8
}
