title  = "a third of the engines dies at once and comes back cold"
length = "60s"
short  = 0.25
base   = "search"

trouble "crash" {
  at      = "15s"
  for     = "6s"
  engines = [0, 3, 5]
}

trouble "flush" {
  at      = "30s"
  engines = [1, 2]
}

expect "lookup" {
  served = 0.9
}
