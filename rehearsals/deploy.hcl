title  = "engines drain and come back one after another, then two are preempted"
length = "60s"
short  = 0.25
base   = "search"

trouble "deploy" {
  at      = "8s"
  for     = "32s"
  engines = [0, 1, 2, 3]
}

trouble "preemption" {
  at      = "42s"
  for     = "6s"
  engines = [5, 6]
}

expect "lookup" {
  served = 0.9
}
