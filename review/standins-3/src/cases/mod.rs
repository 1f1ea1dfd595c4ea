pub mod cut_readers;
pub mod cut_watches;
pub mod late_crash;
pub mod older_start;
pub mod slow_reader;
