# Terms of one marshal. Keys left out have the defaults that docs/operators.md gives.

zones = ["site-a", "site-b"]
kinds = ["full-1c", "slow-1c"]

marshal {
  number = 0
  of = 1
  zone = "site-a"
}

places {
  listen = "127.0.0.1:7100"
  node_list = "127.0.0.1:7001"
  service = "calendar"
  release_desk = "127.0.0.1:7002"
}

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

release {
  shares = [0.1, 0.35, 1]
  caps = [0.14, 0.49, 1]
}

rules {
  drain_grace = "1s"
  cold_from = 0.42
  warm_within = "5s"
  fall_multiple = 3
  fall_window = "1s"
}
