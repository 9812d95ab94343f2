import { expect, test } from "vitest";
import { formatConfigError } from "./config_error.ts";
import { checkDaemonSettings } from "./daemon_settings.ts";

test("errors of invalid and unknown settings have file, line, key and allowed values", () => {
  const text = `[daemon]
vm = entry-1
domain = a
client_address = 127.0.0.1
peer_adress = 127.0.0.1:2

[platform]
log_url = ftp://127.0.0.1
vm_list_url = http://127.0.0.1:3

[log]
level = loud

[tls]
ca_path = /ca.pem

[raft]
`;
  const errors = checkDaemonSettings({ name: "d.ini", text })
    ._unsafeUnwrapErr();
  expect(errors.map(formatConfigError)).toMatchInlineSnapshot(`
    [
      "d.ini:1: [daemon] peer_address: missing_key: found nothing; allowed: HOST:PORT",
      "d.ini:4: [daemon] client_address: out_of_range: found "127.0.0.1"; allowed: HOST:PORT",
      "d.ini:5: [daemon] peer_adress: unknown_key: found "peer_adress"; allowed: vm, domain, client_address, peer_address, peer_listen (nearest: peer_address)",
      "d.ini:8: [platform] log_url: out_of_range: found "ftp://127.0.0.1"; allowed: a URL of http or https",
      "d.ini:12: [log] level: out_of_range: found "loud"; allowed: one of error, warn, info, debug",
      "d.ini:14: [tls] cert_path: missing_key: found nothing; allowed: cert_path and key_path together, or none of the section's keys",
      "d.ini:14: [tls] key_path: missing_key: found nothing; allowed: cert_path and key_path together, or none of the section's keys",
      "d.ini:17: [raft]: unknown_section: found "[raft]"; allowed: [daemon], [platform], [metrics], [log], [admin], [tls]",
    ]
  `);
});
