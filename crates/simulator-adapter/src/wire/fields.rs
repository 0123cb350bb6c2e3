//! Reads the fields of a message in sequence.

use super::Malformed;

/// Unread big-endian fields of a message. Errors contain the name of the message.
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// Creates a reader of all fields of a message.
    pub fn new(bytes: &'a [u8]) -> Self {
        Fields(bytes)
    }

    /// Number of unread bytes.
    pub fn remaining(&self) -> usize {
        self.0.len()
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize, message: &str) -> Result<&'a [u8], Malformed> {
        let Some((head, rest)) = self.0.split_at_checked(count) else {
            return Err(Malformed::new(format!(
                "{message}: {count} bytes wanted, {} left",
                self.remaining()
            )));
        };
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, message: &str) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, message)?);
        Ok(array)
    }

    /// Reads an unsigned 8-bit integer.
    pub fn u8(&mut self, message: &str) -> Result<u8, Malformed> {
        Ok(self.array::<1>(message)?[0])
    }

    /// Reads an unsigned 16-bit integer.
    pub fn u16(&mut self, message: &str) -> Result<u16, Malformed> {
        self.array(message).map(u16::from_be_bytes)
    }

    /// Reads an unsigned 32-bit integer.
    pub fn u32(&mut self, message: &str) -> Result<u32, Malformed> {
        self.array(message).map(u32::from_be_bytes)
    }

    /// Reads an unsigned 64-bit integer.
    pub fn u64(&mut self, message: &str) -> Result<u64, Malformed> {
        self.array(message).map(u64::from_be_bytes)
    }

    /// Reads a 32-bit floating-point number, widened to 64 bits.
    pub fn f32(&mut self, message: &str) -> Result<f64, Malformed> {
        self.raw_f32(message).map(f64::from)
    }

    fn raw_f32(&mut self, message: &str) -> Result<f32, Malformed> {
        self.array(message).map(f32::from_be_bytes)
    }

    /// Reads a 64-bit floating-point number.
    pub fn f64(&mut self, message: &str) -> Result<f64, Malformed> {
        self.array(message).map(f64::from_be_bytes)
    }

    /// Reads a load report: the number of values, then the values.
    pub fn load_report(&mut self) -> Result<Vec<f32>, Malformed> {
        let count = self.u8("stats")?;
        (0..count).map(|_| self.raw_f32("stats")).collect()
    }
}
