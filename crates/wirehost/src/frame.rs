//! Frames: bytes of a batch taken apart, records of a reply put together.

use std::fmt;

pub const EVENT: usize = 56;
pub const BATCH_HEAD: usize = 16;
pub const ENTRY: usize = 24;

/// What is wrong with a batch, and where.
#[derive(Debug, PartialEq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "malformed batch: {}", self.0)
    }
}

impl From<grebespool_platform_settings::SettingsError> for Malformed {
    fn from(stated: grebespool_platform_settings::SettingsError) -> Self {
        Malformed(stated.to_string())
    }
}

pub fn malformed<T>(what: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(what.into()))
}

pub type Address = [u8; 6];

/// The fields of a record, by their offset in it. A record's length is checked before one is made.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        std::array::from_fn(|i| self.0[at + i])
    }
    pub fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }
    pub fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.take(at))
    }
    pub fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.take(at))
    }
    pub fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.take(at))
    }
    pub fn f32(&self, at: usize) -> f32 {
        f32::from_be_bytes(self.take(at))
    }
    pub fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.take(at))
    }
    pub fn address(&self, at: usize) -> Address {
        self.take(at)
    }
    /// A load report; more values than fit are malformed.
    pub fn report(&self, at: usize) -> Result<Vec<f32>, Malformed> {
        let n = usize::from(self.u8(at));
        if n > 4 {
            return malformed(format!("a load report of {n} values"));
        }
        Ok((0..n).map(|i| self.f32(at + 1 + 4 * i)).collect())
    }
}

pub struct Batch<'a> {
    pub clock: f64,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn parse(frame: &'a [u8]) -> Result<Self, Malformed> {
        let head = Fields(frame);
        let clock = head.f64(4);
        if !clock.is_finite() {
            return malformed("the clock at byte 4 is not a number");
        }
        let (body, count) = (&frame[BATCH_HEAD..], head.u32(12) as usize);
        let size = count.saturating_mul(EVENT);
        if size > body.len() {
            return malformed(format!("{count} records at byte 12 do not fit into {} bytes", frame.len()));
        }
        let (records, tail) = body.split_at(size);
        Ok(Batch { clock, records, tail })
    }

    pub fn events(&self) -> impl Iterator<Item = Fields<'a>> + use<'a> {
        self.records.chunks_exact(EVENT).map(Fields)
    }

    /// What a (u32 + u32) field points to, in units of `size` bytes.
    pub fn tail(&self, at: Fields, offset: usize, size: usize) -> Result<&'a [u8], Malformed> {
        let (from, many) = (at.u32(offset) as usize, at.u32(offset + 4) as usize);
        let to = many.checked_mul(size).and_then(|n| n.checked_add(from));
        match to.and_then(|to| self.tail.get(from..to)) {
            Some(bytes) => Ok(bytes),
            None => malformed(format!("offset {from} and length {many} reach past the tail")),
        }
    }
}

/// Records of a reply. Each names its instance only when that changes.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    count: u32,
    named: Option<u32>,
}

impl Reply {
    const ACTION: usize = 16;
    const AS: u16 = 1050;

    pub fn put(&mut self, instance: u32, code: u16, fields: &[&[u8]]) {
        if self.named != Some(instance) {
            self.named = Some(instance);
            self.record(Self::AS, &[&instance.to_be_bytes()]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        let end = self.records.len() + Self::ACTION;
        self.records.extend(code.to_be_bytes());
        for field in fields {
            self.records.extend(*field);
        }
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// The whole frame; the reply is empty again afterwards.
    pub fn frame(&mut self) -> Vec<u8> {
        let mut frame = self.count.to_be_bytes().to_vec();
        frame.extend((self.records.len() as u32 + 8).to_be_bytes());
        frame.append(&mut self.records);
        *self = Reply::default();
        frame
    }
}
