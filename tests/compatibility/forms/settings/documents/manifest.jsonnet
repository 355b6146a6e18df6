// Every key of a package's manifest.
{
  format: 1,
  name: 'model-0',
  version: '3',
  entry: 'model:run',
  memory_mb: 200,
  lanes: 4,
  files: { 'model.py': { size: 12, sha256: std.repeat('0a', 32) } },
}
