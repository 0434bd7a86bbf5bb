title    = "forty dispatchers, ten engines at three quarters, crashes and a deploy"
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
  rate    = 109
  work_ms = 600
  spread  = 0.5
  threads = 2
  told    = 0.5
  repeats = 2
}

traffic "report" {
  rate    = 6.8
  work_ms = 8000
  spread  = 0.7
  threads = 4
  told    = 0.5
  repeats = 1
}

trouble "crash" {
  at      = "20s"
  for     = "10s"
  engines = [1, 5]
}

trouble "deploy" {
  at      = "40s"
  for     = "24s"
  engines = [0, 2, 4, 6]
}
