//! Fields of a message, read in turn.

use super::Malformed;

/// Big-endian fields that are still to be read. Errors name the message that they are read for.
pub struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    /// All fields of a message.
    pub fn new(bytes: &'a [u8]) -> Self {
        Fields(bytes)
    }

    /// Bytes that are left.
    pub fn left(&self) -> usize {
        self.0.len()
    }

    /// So many bytes as they are.
    pub fn bytes(&mut self, count: usize, message: &str) -> Result<&'a [u8], Malformed> {
        let Some((head, rest)) = self.0.split_at_checked(count) else {
            return Err(Malformed::new(format!("{message}: {count} bytes wanted, {} left", self.left())));
        };
        self.0 = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, message: &str) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(N, message)?);
        Ok(array)
    }

    /// A number of 8 bits.
    pub fn u8(&mut self, message: &str) -> Result<u8, Malformed> {
        Ok(self.array::<1>(message)?[0])
    }

    /// A number of 16 bits.
    pub fn u16(&mut self, message: &str) -> Result<u16, Malformed> {
        self.array(message).map(u16::from_be_bytes)
    }

    /// A number of 32 bits.
    pub fn u32(&mut self, message: &str) -> Result<u32, Malformed> {
        self.array(message).map(u32::from_be_bytes)
    }

    /// A number of 64 bits.
    pub fn u64(&mut self, message: &str) -> Result<u64, Malformed> {
        self.array(message).map(u64::from_be_bytes)
    }

    /// A floating-point number of 32 bits, widened.
    pub fn f32(&mut self, message: &str) -> Result<f64, Malformed> {
        self.raw_f32(message).map(f64::from)
    }

    fn raw_f32(&mut self, message: &str) -> Result<f32, Malformed> {
        self.array(message).map(f32::from_be_bytes)
    }

    /// A floating-point number of 64 bits.
    pub fn f64(&mut self, message: &str) -> Result<f64, Malformed> {
        self.array(message).map(f64::from_be_bytes)
    }

    /// A load report: the number of its values, and the values.
    pub fn load_report(&mut self) -> Result<Vec<f32>, Malformed> {
        let count = self.u8("stats")?;
        (0..count).map(|_| self.raw_f32("stats")).collect()
    }
}
