title  = "load against service, from 0.4 to 1.6 of capacity, ours against plain policies and one that sees all"
day    = "model-city"
length = "90s"
seeds  = 8

arm "cresspass" { talk = "ask" }
arm "round robin" { policy = "round-robin" }
arm "least connections" { policy = "least-connections" }
arm "two choices" { policy = "two-choices" }
arm "oracle" { policy = "oracle" }

sweep "rate" {
  values = [0.4, 0.6, 0.8, 0.9, 1.0, 1.1, 1.2, 1.4, 1.6]
}
