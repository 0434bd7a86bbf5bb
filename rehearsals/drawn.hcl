title  = "troubles of any kind, drawn from the seed"
length = "60s"
short  = 0.25
random = 7
base   = "search"
