//! A host process of a socket run, for the tests of this package: `lotussaddle scale host` runs the same.

fn main() -> anyhow::Result<()> {
    lotussaddle_scale::socket_host::run_host()
}
