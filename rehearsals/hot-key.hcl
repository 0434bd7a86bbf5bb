title  = "most loads have one key while their class grows fourfold and the roster is late"
length = "60s"
short  = 0.25
base   = "search"

trouble "hot-key" {
  at   = "10s"
  for  = "35s"
  size = 0.8
}

trouble "shift" {
  at    = "12s"
  for   = "25s"
  size  = 4
  class = "index-load"
}

trouble "roster-late" {
  at   = "10s"
  for  = "40s"
  size = 4
}

trouble "crash" {
  at      = "20s"
  for     = "8s"
  engines = [2]
}

expect "lookup" {
  served = 0.7
}
