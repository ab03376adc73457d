//! Builds batches of the simulator's wire protocol for tests.

/// The settings of a deployment with one zone and one route.
pub const SETTINGS: &str = "classes.count=1\nclasses.0.aimMs=1500.0\nclasses.0.effect=retryable\n\
classes.0.points=1.0\nfamilyInfo.cycleMs=1000.0\nfamilyInfo.linesPerS=1000.0\nfamilyInfo.mostWaiting=1000.0\n\
familyInfo.worstTransitMs=400.0\ninvariants.drainGraceMs=3000.0\ninvariants.warmUpMs=16000.0\n\
report.fields=cpu_share,something_new\nregistryMode=pushed\nzones=a\nnew.key=1,2\nno pair\n";

/// Returns an event: its code and fields, padded to the size of a record.
pub fn record(code: u16, fields: &[u8]) -> Vec<u8> {
    let mut bytes = code.to_be_bytes().to_vec();
    bytes.extend(fields);
    bytes.resize(56, 0);
    bytes
}

/// Returns a batch of events with a tail.
pub fn frame(records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    bytes.extend(5000f64.to_be_bytes());
    bytes.extend((records.len() as u32).to_be_bytes());
    records.iter().for_each(|r| bytes.extend(r));
    bytes.extend(tail);
    let length = (bytes.len() as u32).to_be_bytes();
    bytes[..4].copy_from_slice(&length);
    bytes
}

/// Returns the event that names the instance of the following events.
pub fn instance_record(instance: u32) -> Vec<u8> {
    record(1150, &instance.to_be_bytes())
}

/// Returns an event that refers to a part of the tail.
pub fn tail_record(code: u16, before: &[u8], offset: usize, length: usize) -> Vec<u8> {
    let mut fields = before.to_vec();
    fields.extend((offset as u32).to_be_bytes());
    fields.extend((length as u32).to_be_bytes());
    record(code, &fields)
}

/// Returns a batch that starts an instance, lists one ready server and joins a proxy.
pub fn start(settings: &str) -> Vec<u8> {
    let mut entry = vec![10, 18, 74, 7, 0x1f, 0x43, 0, 0, 0, 0, 0, 1];
    entry.extend(1f32.to_be_bytes());
    entry.extend([0; 8]);
    let records = [
        instance_record(3),
        tail_record(1000, &7u64.to_be_bytes(), 0, settings.len()),
        tail_record(1140, &[0], settings.len(), 1),
        record(1010, &[2, 0, 0, 0, 1, 0]),
        record(1060, &[0, 0x29, 0, 0, 1]),
    ];
    frame(&records, &[settings.as_bytes(), &entry].concat())
}
