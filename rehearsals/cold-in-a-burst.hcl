title  = "five of eight engines come back cold just as ten times the traffic arrives"
length = "60s"
short  = 0.4
base   = "search"
set    = { cold_multiple = "1.2" }

trouble "crash" {
  at      = "12s"
  for     = "5s"
  engines = [0, 1, 2, 4, 5]
}

trouble "burst" {
  at   = "17s"
  for  = "10s"
  size = 10
}
