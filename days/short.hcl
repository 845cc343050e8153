# A short day for tests: the shape of the bad day in less time, at less traffic, with wide margins.


seed = 7
lasts = "24s"
marshals = 3
zones = ["site-a", "site-b"]

method "calendar-read" {
  repeat = "idempotent"
  soft_deadline = "800ms"
  deadline = "3s"
  utility = 2
  late_utility = 0.2
}

method "calendar-save" {
  repeat = "tokened"
  window = "5s"
  soft_deadline = "800ms"
  deadline = "3s"
  utility = 2
}

method "pickup-book" {
  repeat = "non-idempotent"
  soft_deadline = "1s"
  deadline = "3s"
  utility = 6
}

work "calendar-read" {
  share = 0.43
  mean = "60ms"
}

work "calendar-save" {
  share = 0.31
  mean = "60ms"
}

work "pickup-book" {
  share = 0.26
  mean = "60ms"
}

machine "full-1c" {
  share = 0.63
}

machine "slow-1c" {
  share = 0.37
  speed = 0.6
}

fleet {
  nodes = 8
  start = "1s"
  leave = "3s"
  queue = 40
}

traffic {
  rate = 40
  retries = 2
  keys = 5000
}

release {
  shares = [0.1, 0.35, 1]
  caps = [0.14, 0.49, 1]
  on_votes = 2
  back_votes = 1
  bake = "1s"
}

rules {
  drain_grace = "1s"
  cold_from = 0.42
  warm_within = "5s"
  fall_multiple = 3
  fall_window = "1s"
}

build "2" {
  at = "5s"
  fault = "errors"
  much = 0.5
}

trouble "answers-lost" {
  kind = "lost-answers"
  at = "4s"
  lasts = "16s"
  much = 0.03
}

trouble "crash" {
  kind = "crash"
  at = "12s"
  lasts = "4s"
  much = 0.15
}

trouble "marshal-stands-still" {
  kind = "stall"
  at = "15s"
  lasts = "2s"
  much = 1
}

trouble "marshal-killed" {
  kind = "kill"
  at = "18s"
  lasts = "1s"
  much = 2
}
