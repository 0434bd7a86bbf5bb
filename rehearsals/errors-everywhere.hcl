title  = "all engines fail half of what they get for a while"
length = "60s"
short  = 0.25
base   = "search"

trouble "errors" {
  at      = "12s"
  for     = "25s"
  engines = [0, 1, 2, 3, 4, 5, 6, 7]
  size    = 0.5
}
