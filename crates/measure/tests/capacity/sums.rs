//! Checks that the sums on the page between backticks, such as `3,700 x 22 / 1,000 = 81.4`, add up.

use crate::page::PAGE;

/// Parser of numbers, ^, x, /, + and - and parentheses; ^ binds strongest, then x and /.
struct Sum<'a>(std::iter::Peekable<std::str::Chars<'a>>);

impl Sum<'_> {
    fn next(&mut self, one_of: &str) -> Option<char> {
        while self.0.next_if(|c| *c == ' ').is_some() {}
        self.0.next_if(|c| one_of.contains(*c))
    }

    fn number(&mut self) -> Option<f64> {
        while self.0.next_if(|c| *c == ' ').is_some() {}
        if self.next("(").is_some() {
            let inner = self.sum()?;
            return self.next(")").map(|_| inner);
        }
        let mut text = String::new();
        while let Some(c) = self.0.next_if(|c| c.is_ascii_digit() || ",.".contains(*c)) {
            text.extend(Some(c).filter(|c| *c != ','));
        }
        text.parse().ok()
    }

    fn power(&mut self) -> Option<f64> {
        let base = self.number()?;
        match self.next("^") {
            Some(_) => Some(base.powf(self.number()?)),
            None => Some(base),
        }
    }

    fn product(&mut self) -> Option<f64> {
        let mut value = self.power()?;
        while let Some(sign) = self.next("x/") {
            let other = self.power()?;
            value = if sign == 'x' { value * other } else { value / other };
        }
        Some(value)
    }

    fn sum(&mut self) -> Option<f64> {
        let mut value = self.product()?;
        while let Some(sign) = self.next("+-") {
            let other = self.product()?;
            value = if sign == '+' { value + other } else { value - other };
        }
        Some(value)
    }
}

/// The value of an expression; `None` if it isn't one.
fn value(text: &str) -> Option<f64> {
    let mut sum = Sum(text.chars().peekable());
    let value = sum.sum()?;
    while sum.next(" ").is_some() {}
    sum.0.next().is_none().then_some(value)
}

/// Whether both sides agree within 1 %; `None` if the text is no equation.
fn adds_up(text: &str) -> Option<bool> {
    let (left, right) = text.split_once(" = ")?;
    let (left, right) = (value(left)?, value(right)?);
    Some((left - right).abs() <= 0.01 * right.abs().max(1e-12))
}

#[test]
fn sums_add_up() {
    let spans: Vec<&str> = PAGE.split('`').skip(1).step_by(2).collect();
    let sums: Vec<&&str> = spans.iter().filter(|s| s.contains(" = ")).collect();
    assert!(sums.len() >= 20, "the page has its sums between backticks: {}", sums.len());
    let wrong: Vec<_> = sums.iter().filter(|s| adds_up(s) != Some(true)).collect();
    assert!(wrong.is_empty(), "{wrong:?}");
}

#[test]
fn a_wrong_sum_is_found() {
    assert_eq!(adds_up("3,700 x 22 / 1,000 = 81.4"), Some(true));
    assert_eq!(adds_up("2 x (210 + 7,700) / 86,400 = 0.183"), Some(true));
    assert_eq!(adds_up("10 - 4 / 2 ^ 2 = 9"), Some(true));
    assert_eq!(adds_up("(11 / 12) ^ 16.3 = 0.242"), Some(true));
    assert_eq!(adds_up("3,700 x 22 / 1,000 = 91.4"), Some(false));
    assert_eq!(adds_up("3,700 x 22 kB = 81.4"), None);
    assert_eq!(adds_up("(1 + 2 = 3"), None);
}
