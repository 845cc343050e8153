//! Codec of the simulator's wire protocol: reads records and writes replies. Little-endian, without padding.

/// Invalid input, with a one-sentence description of the fault.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl From<ivydrift_facts::SettingsError> for Malformed {
    fn from(error: ivydrift_facts::SettingsError) -> Self {
        Malformed(error.0)
    }
}

/// The result of reading input.
pub type Result<T> = std::result::Result<T, Malformed>;

/// Returns a [`Malformed`] error with this description.
pub fn malformed<T>(what: impl Into<String>) -> Result<T> {
    Err(Malformed(what.into()))
}

/// Reads the fields of a record in order; `what` names the record in error messages.
pub struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
    what: &'static str,
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8], what: &'static str) -> Self {
        Reader { bytes, position: 0, what }
    }

    /// The next `n` bytes.
    pub fn take(&mut self, n: usize) -> Result<&'a [u8]> {
        match self.position.checked_add(n).and_then(|end| self.bytes.get(self.position..end)) {
            Some(part) => {
                self.position += n;
                Ok(part)
            }
            None => malformed(format!(
                "{} ends at byte {}, before its next field is complete",
                self.what,
                self.bytes.len()
            )),
        }
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N]> {
        Ok(self.take(N)?.try_into().expect("take returns N bytes"))
    }

    pub fn u8(&mut self) -> Result<u8> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub fn u32(&mut self) -> Result<u32> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub fn u64(&mut self) -> Result<u64> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub fn f32(&mut self) -> Result<f32> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    /// A node's address: four bytes of IPv4 address and two of port.
    pub fn addr(&mut self) -> Result<[u8; 6]> {
        self.array()
    }

    /// Whether all bytes have been read.
    pub fn is_empty(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// The next record: its code and fields.
    pub fn record(&mut self) -> Result<(u8, &'a [u8])> {
        let code = self.u8()?;
        let len = self.u32()? as usize;
        Ok((code, self.take(len)?))
    }
}

/// Builds a reply; `finish` fills in the header.
pub struct Writer {
    bytes: Vec<u8>,
    records: u32,
}

impl Default for Writer {
    fn default() -> Self {
        Writer { bytes: vec![0; 8], records: 0 }
    }
}

impl Writer {
    /// Appends a record with these fields.
    pub fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let len: usize = fields.iter().map(|f| f.len()).sum();
        self.bytes.push(code);
        self.bytes.extend_from_slice(&(len as u32).to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
        self.records += 1;
    }

    /// Fills in the header, the record count and the length in bytes, and returns the reply.
    pub fn finish(mut self) -> Vec<u8> {
        let len = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&self.records.to_le_bytes());
        self.bytes[4..8].copy_from_slice(&len.to_le_bytes());
        self.bytes
    }
}
