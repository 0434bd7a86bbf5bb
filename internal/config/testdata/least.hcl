# As little as a file may say; the golden dump has the defaults.
default_class = "lookup"
roster { eds = "127.0.0.1:16434" }
kind "std" { cores = 8 }
class "lookup" {
  aim      = "1s"
  deadline = "5s"
  effect   = "safe"
}
