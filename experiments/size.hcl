title  = "the same traffic through 1 to 500 dispatchers, with talk and without"
day    = "model-city"
length = "60s"
seeds  = 5

arm "talk" { talk = "ask" }
arm "no talk" { talk = "no" }

sweep "dispatchers" {
  values = [1, 4, 16, 40, 100, 220, 500]
}
