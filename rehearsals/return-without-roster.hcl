title  = "the list is away while a dispatcher dies and returns; one engine has gone, another came back cold under its address"
length = "60s"
short  = 0.25
base   = "search"

trouble "roster-away" {
  at  = "10s"
  for = "25s"
}

trouble "crash" {
  at      = "12s"
  for     = "40s"
  engines = [1]
}

trouble "crash" {
  at      = "14s"
  for     = "5s"
  engines = [2]
}

trouble "kill" {
  at         = "16s"
  for        = "4s"
  dispatcher = 1
}

trouble "drain" {
  at      = "38s"
  for     = "6s"
  engines = [4]
}

expect "lookup" {
  served = 0.8
}
