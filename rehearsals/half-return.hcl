title    = "half of the dispatchers return at noon, with nothing learnt; costs are told as a third of the truth"
length   = "100s"
short    = 0.2
settings = "standard"
talk     = "ask"

fleet {
  engines     = 4
  dispatchers = 6
  memory_mb   = 4096
  kinds       = ["std", "std", "std", "big"]
  zones       = 2
}

traffic "lookup" {
  rate    = 150
  work_ms = 120
  spread  = 0.8
  rows    = 5
  tables  = 12
  told    = 0.33
  repeats = 1
}

traffic "report" {
  rate    = 24
  work_ms = 1200
  spread  = 0.8
  threads = 2
  rows    = 50
  tables  = 12
  told    = 0.33
  repeats = 1
}

traffic "index-load" {
  rate    = 2
  work_ms = 1000
  spread  = 0.6
  threads = 2
  keys    = 6
  tables  = 12
  loads   = true
  repeats = 1
}

trouble "return" {
  at  = "36s"
  for = "1s"
}
