# The built-in bad day: three marshals, sixteen nodes on two sites, one bad build that must be sent back, one
# good build that must be released, and troubles that overlap with both.

seed = 7
lasts = "58s"
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
  nodes = 16
  start = "1s"
  leave = "3s"
  queue = 40
}

traffic {
  rate = 85
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
  at = "8s"
  fault = "errors"
  much = 0.3
}

build "3" {
  at = "26s"
}

trouble "phones" {
  kind = "burst"
  at = "12s"
  lasts = "5s"
  much = 1.6
}

trouble "answers-lost" {
  kind = "lost-answers"
  at = "10s"
  lasts = "30s"
  much = 0.03
}

trouble "crash" {
  kind = "crash"
  at = "17s"
  lasts = "6s"
  much = 0.15
}

trouble "impatient" {
  kind = "give-up"
  at = "14s"
  lasts = "8s"
  much = 0.1
}

trouble "marshal-stands-still" {
  kind = "stall"
  at = "22s"
  lasts = "3s"
  much = 1
}

trouble "reports-late" {
  kind = "late-reports"
  at = "30s"
  lasts = "6s"
  much = 0.8
}

trouble "marshal-killed" {
  kind = "kill"
  at = "36s"
  lasts = "1s"
  much = 2
}

trouble "heavy" {
  kind = "heavy-tail"
  at = "40s"
  lasts = "6s"
  much = 0.02
  method = "calendar-read"
}

trouble "neighbour" {
  kind = "neighbour"
  at = "44s"
  lasts = "6s"
  much = 2
  nodes = 0.12
}

trouble "desk-silent" {
  kind = "desk-down"
  at = "48s"
  lasts = "5s"
}

trouble "reaped" {
  kind = "idle-reap"
  at = "20s"
  lasts = "38s"
  much = 0.7
}
