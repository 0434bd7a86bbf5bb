title  = "the version built in bin/adapter against the one of another binary, under crashes and a deploy"
day    = "model-city-trouble"
length = "90s"
seeds  = 24

arm "now" {
  talk   = "no"
  binary = "bin/adapter"
}
arm "before" {
  talk   = "no"
  binary = "bin/adapter-before"
}
