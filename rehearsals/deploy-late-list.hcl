title  = "a deploy of which the roster tells ten seconds late: cold engines that nobody knows of"
base   = "search"
length = "60s"
short  = 0.25

trouble "roster-late" {
  at   = "5s"
  for  = "55s"
  size = 10
}

trouble "deploy" {
  at      = "10s"
  for     = "40s"
  engines = [0, 2]
}
