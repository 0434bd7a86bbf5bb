title  = "220 dispatchers, 63 engines, 540 queries a second for ten minutes"
day    = "model-big"
length = "600s"
seeds  = 2

arm "cresspass" { talk = "ask" }
