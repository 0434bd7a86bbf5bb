title    = "forty dispatchers, ten engines, as much as they can do"
length   = "90s"
settings = "model-city"

fleet {
  engines     = 10
  dispatchers = 40
  memory_mb   = 65536
  kinds       = ["std"]
  zones       = 2
}

traffic "board" {
  rate    = 145
  work_ms = 600
  spread  = 0.5
  threads = 2
  told    = 0.5
  repeats = 2
}

traffic "report" {
  rate    = 9.1
  work_ms = 8000
  spread  = 0.7
  threads = 4
  told    = 0.5
  repeats = 1
}
