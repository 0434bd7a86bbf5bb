title  = "share of the traffic on the busiest tenth of the dispatchers"
day    = "model-city"
length = "90s"
seeds  = 8

arm "talk" { talk = "ask" }
arm "no talk" { talk = "no" }

sweep "uneven" {
  values = [0.1, 0.3, 0.5, 0.7, 0.9]
}
