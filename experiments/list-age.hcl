title  = "age of the engine list, in seconds, under crashes and a deploy"
day    = "model-city-trouble"
length = "90s"
seeds  = 8

arm "talk" { talk = "ask" }
arm "no talk" { talk = "no" }

sweep "list_late" {
  values = [0, 1, 3, 10, 30]
}
