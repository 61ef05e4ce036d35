//! Limits of the process itself, as the system states them.

/// Limits of the process; `None` where there is none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnLimits {
    /// Bytes of memory.
    pub memory: Option<u64>,
    /// Open descriptors.
    pub descriptors: Option<u64>,
}

/// Reads the limits of this process; a system that does not state them sets none.
pub fn read() -> OwnLimits {
    std::fs::read_to_string("/proc/self/limits").map_or_else(|_| OwnLimits::default(), |text| parse(&text))
}

/// Parses the table of limits: names, soft and hard limits, units. The soft limits hold.
pub fn parse(text: &str) -> OwnLimits {
    let soft = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok()
    };
    let memory = [soft("Max address space"), soft("Max data size")].into_iter().flatten().min();
    OwnLimits { memory, descriptors: soft("Max open files") }
}
