use super::*;

fn complaints(text: &str) -> Vec<String> {
    parse("edge.hcl", text).unwrap_err().0.iter().map(|c| c.to_string()).collect()
}

#[test]
fn the_example_parses() {
    let config = parse("example.hcl", EXAMPLE).unwrap();
    assert_eq!(config.methods, ["calendar-read", "calendar-save", "pickup-book"]);
    assert_eq!(config.rollout.methods[2].repeat, Repeat::NonIdempotent);
}

#[test]
fn every_error_has_its_position_and_remedy() {
    let invalid = EXAMPLE
        .replace("soft_deadline = \"800ms\"", "soft_deadline = 800")
        .replace("fall_multiple", "fall_multipel")
        .replace("repeat = \"non-idempotent\"", "repeat = \"never\"")
        .replace("listen = \"127.0.0.1:7100\"", "listen = \"here\"");
    let errors = complaints(&invalid);
    let line = |expected: &str| invalid.lines().position(|l| l.contains(expected)).unwrap() + 1;
    let assert_error = |line_number: usize, expected: &str| {
        assert!(
            errors.iter().any(|f| f.starts_with(&format!("edge.hcl:{line_number}:")) && f.contains(expected)),
            "{line_number} {expected}: {errors:#?}"
        );
    };
    assert_error(line("listen"), "write \"address:port\"");
    assert_error(line("soft_deadline = 800"), "as in \"800ms\"");
    assert_error(line("\"never\""), "\"idempotent\" or \"tokened\"");
    assert_error(line("multipel"), "did you mean fall_multiple?");
}

#[test]
fn zones_without_region_blocks_are_in_one_region() {
    let config_with = |regions: &str| EXAMPLE.replacen("kinds =", &format!("{regions}\nkinds ="), 1);
    let plain = parse("edge.hcl", EXAMPLE).unwrap();
    assert_eq!(plain.distance(0, 0), Distance::SameZone);
    assert_eq!((plain.distance(0, 1), plain.distance(0, 7)), (Distance::SameRegion, Distance::OtherRegion));
    let two = "region \"north\" {\n  zones = [\"site-a\"]\n}\nregion \"south\" {\n  zones = [\"site-b\"]\n}";
    assert_eq!(parse("edge.hcl", &config_with(two)).unwrap().distance(0, 1), Distance::OtherRegion);
    for (text, expected) in [
        (two.replace("site-b", "site-c"), "write one of site-a, site-b"),
        (two.replace("site-b", "site-a"), "is in two regions"),
        (two.replace("[\"site-b\"]", "[]"), "no region contains zone site-b"),
    ] {
        let errors = complaints(&config_with(&text)).join("\n");
        assert!(errors.contains(expected) && errors.starts_with("edge.hcl:"), "{errors}");
    }
}

#[test]
fn a_subset_is_the_default_and_numbers_marshals_by_zone() {
    let config_with = |text: &str| EXAMPLE.replace("of = 1\n", "of = 5\n") + text;
    let read_subset = |text: &str| parse("edge.hcl", &config_with(text)).unwrap().subset;
    assert_eq!(read_subset(""), Some(SubsetConfig { min_nodes: 24, marshals_per_zone: vec![] }));
    assert_eq!(read_subset("subset = false\n"), None);
    let block = |inner: &str| format!("subset {{\n  {inner}\n}}\n");
    let some = Some(SubsetConfig { min_nodes: 40, marshals_per_zone: vec![2, 3] });
    assert_eq!(read_subset(&block("least = 40\n  marshals = [2, 3]")), some);
    for (text, expected) in [
        ("subset = true\n".to_owned(), "write subset { least = 24 }, or subset = false"),
        (block("least = 1"), "least is 1: write a whole number, 2 to 10000"),
        (block("marshals = [2, 2]"), "marshals add up to 4: write numbers that add up to marshal.of, 5"),
        (block("marshals = [5]"), "write a whole number for each of site-a, site-b"),
        (block("marshals = [2.5, 2.5]"), "write a whole number for each of site-a, site-b"),
        (block("marshals = [0, 5]"), "number them zone by zone"),
        (block("most = 3"), "unknown key most"),
    ] {
        let errors = complaints(&config_with(&text)).join("\n");
        let line = config_with(&text).lines().count() - if text.contains('{') { 1 } else { 0 };
        assert!(
            errors.contains(expected) && errors.starts_with(&format!("edge.hcl:{line}:")),
            "{line} {errors}"
        );
    }
}

#[test]
fn syntax_errors_and_missing_keys_have_positions() {
    assert!(complaints("marshal {\n  number = \n}\n")[0].starts_with("edge.hcl:2:"));
    let errors = complaints("method \"a\" {\n}\n").join("\n");
    for key in ["listen", "soft_deadline", "repeat", "service"] {
        assert!(errors.contains(&format!("{key} is missing")), "{key}: {errors}");
    }
    let duplicate = complaints(&format!("{EXAMPLE}\nmarshal {{\n}}\n")).join("\n");
    assert!(duplicate.contains("marshal is given twice"), "{duplicate}");
}

#[test]
fn a_third_of_descriptors_as_clients_leaves_one_for_each_pick() {
    for sockets in [256, 1024] {
        assert!(
            2 * (sockets / 3) + Limits::by_process(sockets, None, 1, Duration::ZERO).max_idle_total + 16
                <= sockets,
            "{sockets}"
        );
    }
}

#[test]
fn a_method_without_service_has_that_of_places() {
    let config_with = |service: &str, block: &str| {
        let method = format!("method \"relay-read\" {{\n  {service}\n  repeat = \"idempotent\"\n");
        format!("{EXAMPLE}\n{method}  soft_deadline = \"1s\"\n  deadline = \"2s\"\n}}\n{block}\n")
    };
    let plain = parse("edge.hcl", EXAMPLE).unwrap();
    assert!(
        plain.method_services.iter().all(|s| **s == *"calendar")
            && plain.method_services.len() == plain.methods.len()
    );
    assert_eq!(plain.services, services::ServicesConfig::default());
    let block = "services {\n  most = 3\n  rest = \"5s\"\n  kib = 100\n}";
    let two_services = parse("edge.hcl", &config_with("service = \"relay\"", block)).unwrap();
    assert_eq!(
        two_services.method_services.iter().map(|s| &s[..]).collect::<Vec<_>>(),
        ["calendar", "calendar", "calendar", "relay"]
    );
    let expected_services = services::ServicesConfig {
        max_services: 3,
        idle_timeout: Duration::from_secs(5),
        max_bytes: 100 * 1024,
    };
    assert_eq!(two_services.services, expected_services);
    let line = |text: &str, expected: &str| text.lines().position(|l| l.contains(expected)).unwrap() + 1;
    for (service, block, at, expected) in [
        ("service = \"a/b\"", "", "a/b", "letters, digits, - _ or ."),
        ("service = 7", "", "service = 7", "a service's name in the node list"),
        ("", "services {\n  most = 0\n}", "most = 0", "a whole number, 1 to 10000"),
        ("", "services {\n  rest = \"2ms\"\n}", "rest", "write a duration of"),
        ("", "services {\n  kbi = 64\n}", "kbi", "did you mean kib?"),
    ] {
        let text = config_with(service, block);
        let errors = complaints(&text).join("\n");
        let place = format!("edge.hcl:{}:", line(&text, at));
        assert!(errors.contains(&place) && errors.contains(expected), "{place} {expected}: {errors}");
    }
    let without_default_service = EXAMPLE.replace("  repeat =", "  service = \"relay\"\n  repeat =");
    let errors = complaints(&without_default_service).join("\n");
    assert!(errors.contains("no method belongs to places.service \"calendar\""), "{errors}");
}
