title  = "the engines and dispatchers of a zone die and come back"
length = "60s"
short  = 0.25
base   = "search"

trouble "zone-loss" {
  at  = "15s"
  for = "8s"
}

expect "lookup" {
  served = 0.6
}
