title    = "220 dispatchers, 63 engines, 540 queries a second"
length   = "600s"
settings = "model-city"

fleet {
  engines     = 63
  dispatchers = 220
  memory_mb   = 65536
  kinds       = ["std"]
  zones       = 3
}

traffic "board" {
  rate    = 505
  work_ms = 600
  spread  = 0.5
  threads = 2
  told    = 0.5
  repeats = 2
}

traffic "report" {
  rate    = 35
  work_ms = 8000
  spread  = 0.7
  threads = 4
  told    = 0.5
  repeats = 1
}
