title  = "two engines grow slower and crash, another program comes and goes on two more"
length = "60s"
short  = 0.25
base   = "search"

trouble "ageing" {
  at      = "8s"
  for     = "28s"
  engines = [0, 3]
  size    = 6
}

trouble "neighbour" {
  at      = "15s"
  for     = "30s"
  engines = [1, 5]
  size    = 4
}

expect "lookup" {
  served = 0.8
}
