title  = "age of the engines' reports, in seconds, without talk"
day    = "model-city"
length = "90s"
seeds  = 8

arm "reports" { talk = "no" }
arm "reports and talk" { talk = "ask" }

sweep "report_late" {
  values = [0, 0.2, 0.5, 1, 3, 10]
}
