title  = "two dispatchers are killed one after another under load, and come back at once"
length = "60s"
short  = 0.25
base   = "search"

trouble "kill" {
  at         = "20s"
  for        = "500ms"
  dispatcher = 0
}

trouble "kill" {
  at         = "40s"
  for        = "500ms"
  dispatcher = 1
}

expect "lookup" {
  served = 0.9
}
