//! The line on which a key stands.

/// A step of a key's path, as in `settings.profiles[1].aim-ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step<'a> {
    Key(&'a str),
    Place(usize),
}

fn steps(path: &str) -> Vec<Step<'_>> {
    let mut all = Vec::new();
    for part in path.split('.') {
        let (key, rest) = part.split_once('[').map_or((part, ""), |(key, rest)| (key, rest));
        if !key.is_empty() {
            all.push(Step::Key(key));
        }
        let places = rest.split('[').filter_map(|place| place.trim_end_matches(']').parse().ok());
        all.extend(places.map(Step::Place));
    }
    all
}

/// The line, from 1, of the value at a path in a text that is JSON; of what it should stand in, if it is not
/// there.
pub fn of_json(text: &str, path: &str) -> Option<usize> {
    let mut walk = Walk { text: text.as_bytes(), at: 0, found: 0 };
    walk.value(Some(&steps(path)));
    Some(text.as_bytes().get(..walk.found)?.iter().filter(|b| **b == b'\n').count() + 1)
}

/// A walk over a text that is known to be JSON.
struct Walk<'a> {
    text: &'a [u8],
    at: usize,
    /// Where the last value on the path begins.
    found: usize,
}

impl Walk<'_> {
    fn space(&mut self) -> Option<u8> {
        while self.text.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    /// Goes over a value; on the path if there are steps.
    fn value(&mut self, path: Option<&[Step<'_>]>) -> Option<()> {
        let kind = self.space()?;
        if path.is_some() {
            self.found = self.at;
        }
        match kind {
            b'"' => drop(self.string()?),
            b'{' | b'[' => {
                let (end, mut place) = (if kind == b'{' { b'}' } else { b']' }, 0);
                self.at += 1;
                while self.space()? != end {
                    let here = if kind == b'{' {
                        let key = self.string()?;
                        // The colon.
                        self.space()?;
                        self.at += 1;
                        path.and_then(|p| matches!(p.first()?, Step::Key(k) if *k == key).then(|| &p[1..]))
                    } else {
                        path.and_then(|p| (*p.first()? == Step::Place(place)).then(|| &p[1..]))
                    };
                    self.value(here)?;
                    place += 1;
                    if self.space()? == b',' {
                        self.at += 1;
                    }
                }
                self.at += 1;
            }
            _ => {
                while self.text.get(self.at).is_some_and(|b| !b",]} \t\r\n".contains(b)) {
                    self.at += 1;
                }
            }
        }
        Some(())
    }

    fn string(&mut self) -> Option<String> {
        let begin = self.at + 1;
        self.at = begin;
        while *self.text.get(self.at)? != b'"' {
            self.at += if self.text[self.at] == b'\\' { 2 } else { 1 };
        }
        let text = String::from_utf8_lossy(self.text.get(begin..self.at)?).into_owned();
        self.at += 1;
        Some(text)
    }
}

/// The line, from 1, of a key of the operator's file in a text that is TOML; of its section, if it is not
/// there.
pub fn of_toml(text: &str, path: &str) -> Option<usize> {
    let (mut section, mut key, mut place) = (Vec::new(), None, 0);
    for step in steps(path) {
        match step {
            Step::Place(n) => place = n,
            Step::Key(name) => section.extend(key.replace(name)),
        }
    }
    let (head, many) = (format!("[{}]", section.join(".")), format!("[[{}]]", section.join(".")));
    let (mut inside, mut seen, mut found) = (section.is_empty(), 0, None);
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.starts_with('[') {
            inside = line == head || line == many && seen == place;
            seen += usize::from(line == many);
            if inside {
                found = Some(number);
            }
        } else if inside && line.split('=').next().map(str::trim) == key {
            return Some(number);
        }
    }
    found
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lines_are_found_past_strings_that_look_like_keys() {
        let text = "{\n\"a\": \"\\\"b\\\": {\",\n\"b\": [1,\n {\"c\": 2,\n  \"d\": [[], {}]}],\n\"e\": {}}";
        let line = |path| of_json(text, path).expect("a line");
        assert_eq!((line("a"), line("b"), line("b[1].c"), line("b[1].d[1]"), line("e")), (2, 3, 4, 5, 6));
        assert_eq!((line("b[1].none"), line("e.none"), line("none")), (4, 6, 1));
    }
}
