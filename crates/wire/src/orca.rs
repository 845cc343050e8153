//! Load reports of nodes in the `endpoint-load-metrics` response field, in the native formats of Open Request Cost
//! Aggregation (ORCA): `TEXT name=value, ...` or `JSON {...}`.

/// Name of the response field.
pub const LOAD_FIELD: &str = "endpoint-load-metrics";

/// Load figures reported by a node; absent and malformed ones are none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Metrics {
    /// CPU utilization, 0 to 1.
    pub cpu_utilization: Option<f64>,
    /// RPCs per second.
    pub rps: Option<f64>,
    /// Errors per second.
    pub eps: Option<f64>,
    /// RPCs queued. This and the following are custom named metrics.
    pub queue: Option<f64>,
    /// RPCs accepted and not yet answered.
    pub in_flight: Option<f64>,
    /// Recent service time in milliseconds.
    pub latency_ms: Option<f64>,
}

impl Metrics {
    fn set(&mut self, name: &str, value: f64) {
        let slot = match name.strip_prefix("named_metrics.").unwrap_or(name) {
            "cpu_utilization" => &mut self.cpu_utilization,
            "rps_fractional" | "rps" => &mut self.rps,
            "eps" => &mut self.eps,
            "queue" => &mut self.queue,
            "in_flight" => &mut self.in_flight,
            "latency_ms" => &mut self.latency_ms,
            _ => return,
        };
        *slot = Some(value).filter(|v| v.is_finite() && *v >= 0.0);
    }

    /// Parses a field value; unknown and malformed metrics are ignored.
    pub fn read(text: &str) -> Metrics {
        let mut metrics = Metrics::default();
        if let Some(pairs) = text.strip_prefix("TEXT ") {
            for (name, value) in pairs.split(',').filter_map(|p| p.split_once('=')) {
                if let Ok(value) = value.trim().parse() {
                    metrics.set(name.trim(), value);
                }
            }
        } else if let Some(Ok(serde_json::Value::Object(map))) =
            text.strip_prefix("JSON ").map(serde_json::from_str)
        {
            let named = map.get("named_metrics").and_then(|n| n.as_object()).into_iter().flatten();
            for (name, value) in map.iter().chain(named) {
                if let Some(value) = value.as_f64() {
                    metrics.set(name, value);
                }
            }
        }
        metrics
    }

    /// Formats the metrics as a field value in the `TEXT` format.
    pub fn write(&self) -> String {
        let figures = [
            ("cpu_utilization", self.cpu_utilization),
            ("rps_fractional", self.rps),
            ("eps", self.eps),
            ("named_metrics.queue", self.queue),
            ("named_metrics.in_flight", self.in_flight),
            ("named_metrics.latency_ms", self.latency_ms),
        ];
        let present =
            figures.iter().filter_map(|(name, figure)| figure.map(|figure| format!("{name}={figure}")));
        format!("TEXT {}", present.collect::<Vec<_>>().join(", "))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn both_formats_parse_and_malformed_values_are_none() {
        let metrics = Metrics { cpu_utilization: Some(0.5), queue: Some(3.0), ..Metrics::default() };
        assert_eq!(Metrics::read(&metrics.write()), metrics);
        let json = r#"JSON {"cpu_utilization":0.5,"named_metrics":{"queue":3}}"#;
        assert_eq!(Metrics::read(json), metrics);
        for malformed in ["", "TEXT", "TEXT queue=NaN", "JSON {", "BIN AAAA", "TEXT queue=-1"] {
            assert_eq!(Metrics::read(malformed), Metrics::default(), "{malformed}");
        }
    }
}
