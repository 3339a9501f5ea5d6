//! The command `lotussaddle`.

use anyhow::Result;

fn main() -> Result<()> {
    for (name, _) in lotussaddle_day::days::DAYS {
        let day = lotussaddle_day::days::by_name(name).unwrap()?;
        let t = std::time::Instant::now();
        let played = lotussaddle_day::virt::play(&day)?;
        let v = &played.verdict;
        println!("{name} {:?} lines {} {:?}", t.elapsed(), played.lines.len(), v.broken);
        println!("{}", serde_json::to_string(&v.gain)?);
        println!(
            "dialogues {} stood {} refused {} failed {} left {} declined {} cut {} excused {} launches {} fell {}",
            v.dialogues,
            v.stood,
            v.refused,
            v.failed,
            v.left,
            v.declined,
            v.cut,
            v.excused,
            v.launches,
            v.fell
        );
        for b in v.breaks.iter().take(8) {
            println!("{b:?}");
        }
        if std::env::var("LOGS").is_ok() {
            for l in &played.logs {
                println!("{l}");
            }
        }
    }
    Ok(())
}
