# Fleet and traffic that the days share: a code search.

fleet {
  engines     = 8
  dispatchers = 3
  memory_mb   = 4096
  kinds       = ["std", "std", "std", "big"]
  zones       = 2
}

traffic "lookup" {
  rate    = 60
  work_ms = 120
  spread  = 0.8
  rows    = 5
  tables  = 12
  repeats = 1
}

traffic "report" {
  rate    = 6
  work_ms = 1200
  spread  = 0.8
  threads = 2
  rows    = 200
  tables  = 12
  repeats = 1
}

traffic "index-load" {
  rate    = 3
  work_ms = 1000
  spread  = 0.6
  threads = 2
  keys    = 6
  tables  = 12
  loads   = true
  repeats = 1
}

traffic "write" {
  rate    = 3
  work_ms = 60
  writes  = true
}

traffic "audit" {
  rate    = 2
  work_ms = 400
  spread  = 0.5
  rows    = 20
}

settings = "standard"
