//! Line numbers of keys in JSON and TOML files.

#[cfg(test)]
mod tests;

/// Step of a key path such as `settings.profiles[1].aim-ms`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step<'a> {
    Key(&'a str),
    Index(usize),
}

/// Splits a key path into steps.
fn steps(path: &str) -> Vec<Step<'_>> {
    let mut steps = Vec::new();
    for part in path.split('.') {
        let (key, indices) = part.split_once('[').unwrap_or((part, ""));
        if !key.is_empty() {
            steps.push(Step::Key(key));
        }
        let indices = indices.split('[').filter_map(|index| index.trim_end_matches(']').parse().ok());
        steps.extend(indices.map(Step::Index));
    }
    steps
}

/// Returns the line, counted from 1, of the value at a path in valid JSON. For a missing value, returns the
/// line of the innermost enclosing value that exists.
pub fn json_line(text: &str, path: &str) -> Option<usize> {
    let mut scanner = JsonScanner { text: text.as_bytes(), position: 0, found: 0 };
    scanner.value(Some(&steps(path)));
    Some(text.as_bytes().get(..scanner.found)?.iter().filter(|byte| **byte == b'\n').count() + 1)
}

/// Scanner that looks for the value at a path in valid JSON.
struct JsonScanner<'a> {
    text: &'a [u8],
    position: usize,
    /// Byte offset at which the last value found on the path begins.
    found: usize,
}

impl JsonScanner<'_> {
    /// Skips white space and returns the next byte without consuming it.
    fn next_byte(&mut self) -> Option<u8> {
        while self.text.get(self.position).is_some_and(u8::is_ascii_whitespace) {
            self.position += 1;
        }
        self.text.get(self.position).copied()
    }

    /// Scans a value. `path` holds the remaining steps if the value lies on the path, otherwise `None`.
    fn value(&mut self, path: Option<&[Step<'_>]>) -> Option<()> {
        let first = self.next_byte()?;
        if path.is_some() {
            self.found = self.position;
        }
        match first {
            b'"' => {
                self.string()?;
            }
            b'{' => self.object(path)?,
            b'[' => self.array(path)?,
            _ => self.literal(),
        }
        Some(())
    }

    fn object(&mut self, path: Option<&[Step<'_>]>) -> Option<()> {
        self.position += 1;
        while self.next_byte()? != b'}' {
            let key = self.string()?;
            self.next_byte()?;
            // Skip the colon.
            self.position += 1;
            self.value(path.and_then(|path| descend(path, Step::Key(&key))))?;
            self.skip_comma()?;
        }
        self.position += 1;
        Some(())
    }

    fn array(&mut self, path: Option<&[Step<'_>]>) -> Option<()> {
        self.position += 1;
        let mut index = 0;
        while self.next_byte()? != b']' {
            self.value(path.and_then(|path| descend(path, Step::Index(index))))?;
            index += 1;
            self.skip_comma()?;
        }
        self.position += 1;
        Some(())
    }

    fn skip_comma(&mut self) -> Option<()> {
        if self.next_byte()? == b',' {
            self.position += 1;
        }
        Some(())
    }

    /// Skips a number, `true`, `false` or `null`.
    fn literal(&mut self) {
        while self.text.get(self.position).is_some_and(|byte| !b",]} \t\r\n".contains(byte)) {
            self.position += 1;
        }
    }

    /// Scans a string and returns its content with escape sequences unchanged.
    fn string(&mut self) -> Option<String> {
        let begin = self.position + 1;
        self.position = begin;
        while *self.text.get(self.position)? != b'"' {
            self.position += if self.text[self.position] == b'\\' { 2 } else { 1 };
        }
        let text = String::from_utf8_lossy(self.text.get(begin..self.position)?).into_owned();
        self.position += 1;
        Some(text)
    }
}

/// Returns the rest of a path if it begins with the given step.
fn descend<'a, 'b>(path: &'a [Step<'b>], step: Step<'_>) -> Option<&'a [Step<'b>]> {
    let (first, rest) = path.split_first()?;
    (*first == step).then_some(rest)
}

/// Returns the line, counted from 1, of a key in the operators' file. For a missing key, returns the line of
/// its section.
pub fn toml_line(text: &str, path: &str) -> Option<usize> {
    let (mut section, mut key, mut index) = (Vec::new(), None, 0);
    for step in steps(path) {
        match step {
            Step::Index(number) => index = number,
            Step::Key(name) => section.extend(key.replace(name)),
        }
    }
    let (table, array) = (format!("[{}]", section.join(".")), format!("[[{}]]", section.join(".")));
    let (mut is_inside, mut elements_seen, mut section_line) = (section.is_empty(), 0, None);
    for (number, line) in (1..).zip(text.lines()) {
        let line = line.split('#').next().unwrap_or_default().trim();
        if line.starts_with('[') {
            is_inside = line == table || line == array && elements_seen == index;
            elements_seen += usize::from(line == array);
            if is_inside {
                section_line = Some(number);
            }
        } else if is_inside && line.split('=').next().map(str::trim) == key {
            return Some(number);
        }
    }
    section_line
}
