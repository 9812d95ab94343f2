import { err, ok, type Result } from "neverthrow";
import { z } from "zod";
import type { DomainId, VmId } from "../core/id.ts";
import { idSchema } from "../wire/brands.ts";
import {
  compareConfigErrors,
  type ConfigError,
  type ConfigFile,
} from "./config_error.ts";
import { readSections, type Section } from "./read_sections.ts";
import type { SectionSpecs } from "./sections.ts";

const address = z.string().max(255).regex(
  /^([^\s:\[\]]+|\[[0-9a-fA-F:.]+\]):\d{1,5}$/,
)
  .meta({ allowed: "HOST:PORT" });
const url = z.url({ protocol: /^https?$/ });
const path = z.string().min(1).max(4_096);

const daemonSchema = z.object({
  vm: idSchema<VmId>()
    .describe("The VM's name, as the platform's VM list has it."),
  domain: idSchema<DomainId>().describe("The VM's failure domain."),
  clientAddress: address.describe(
    "Where clients connect; the listener's own address and what entry answers give out.",
  ),
  peerAddress: address.describe(
    "Where other daemons connect; the address that the VM list has.",
  ),
  peerListen: address.optional().describe(
    "Where the peer listener binds, if not to `peer_address`, for instance behind address translation.",
  ),
});

const platformSchema = z.object({
  logUrl: url.describe("The platform's log service."),
  vmListUrl: url.describe("The platform's list of VMs."),
  weightStoreUrl: url.optional().describe(
    "The platform's weight store, which the engines load from.",
  ),
});

const metricsSchema = z.object({
  statsdHost: z.string().min(1).max(255).optional().describe(
    "Host that takes metrics in StatsD's format over UDP; without it none are sent.",
  ),
  statsdPort: z.number().int().min(1).max(65_535).default(8_125)
    .describe("Its port."),
});

const logSchema = z.object({
  level: z.enum(["error", "warn", "info", "debug"]).default("info")
    .describe("Least severe lines that are written."),
});

const tlsSchema = z.object({
  certPath: path.optional().describe(
    "The daemon's certificate chain, PEM; with it, clients are served over HTTPS. Read again each minute.",
  ),
  keyPath: path.optional().describe("The certificate's private key, PEM."),
  caPath: path.optional().describe(
    "Certificates that sign the daemons' own, PEM; with it, daemons prove themselves to each other.",
  ),
});

const adminSchema = z.object({
  tokenDigest: z.string().regex(/^[0-9a-f]{64}$/)
    .meta({ allowed: "a SHA-256 digest, 64 hexadecimal digits" })
    .optional().describe(
      "SHA-256 digest of the operators' bearer token; without it, whoever reaches the client address may ask for status and drain the daemon.",
    ),
});

/** The sections of a daemon's settings file. */
export const DAEMON_SECTIONS = {
  daemon: {
    named: false,
    required: true,
    meaning: "Who the daemon is and where it is reached.",
    schema: daemonSchema,
  },
  platform: {
    named: false,
    required: true,
    meaning: "Where the platform is.",
    schema: platformSchema,
  },
  metrics: {
    named: false,
    required: false,
    meaning: "Where metrics go.",
    schema: metricsSchema,
  },
  log: {
    named: false,
    required: false,
    meaning: "What the daemon writes to standard output, as JSON lines.",
    schema: logSchema,
  },
  admin: {
    named: false,
    required: false,
    meaning: "Who may use the operators' part of the API.",
    schema: adminSchema,
  },
  tls: {
    named: false,
    required: false,
    meaning: "Files for TLS; without them all connections are plain.",
    schema: tlsSchema,
  },
} as const satisfies SectionSpecs;

const DaemonSettingsSchema = z.object({
  daemon: daemonSchema,
  platform: platformSchema,
  metrics: metricsSchema.prefault({}),
  log: logSchema.prefault({}),
  admin: adminSchema.prefault({}),
  tls: tlsSchema.prefault({}),
}).readonly();
/** Settings that a daemon reads when it starts. */
export type DaemonSettings = z.infer<typeof DaemonSettingsSchema>;

/** Parses and validates a daemon's settings file; returns all errors, sorted. */
export function checkDaemonSettings(
  file: ConfigFile,
): Result<DaemonSettings, readonly ConfigError[]> {
  const { sections, errors } = readSections([file], DAEMON_SECTIONS);
  const allErrors = [...errors, ...sections.tls.flatMap(checkTls)];
  if (allErrors.length > 0) return err(allErrors.sort(compareConfigErrors));
  return ok(DaemonSettingsSchema.parse({
    daemon: sections.daemon[0]?.value,
    platform: sections.platform[0]?.value,
    metrics: sections.metrics[0]?.value,
    log: sections.log[0]?.value,
    admin: sections.admin[0]?.value,
    tls: sections.tls[0]?.value,
  }));
}

/** Requires a certificate and its key if any TLS key is set; a certificate needs its key, and a CA the certificate. */
function checkTls(
  tls: Section<z.infer<typeof tlsSchema>>,
): readonly ConfigError[] {
  const { certPath, keyPath, caPath } = tls.value;
  const requiredKeys = [
    { key: "cert_path", missing: certPath === undefined },
    { key: "key_path", missing: keyPath === undefined },
  ];
  if (certPath ?? keyPath ?? caPath) {
    return requiredKeys.filter(({ missing }) => missing).map(({ key }) => ({
      code: "missing_key",
      ...tls.at,
      section: tls.header,
      key,
      found: "nothing",
      allowed: "cert_path and key_path together, or none of the section's keys",
    }));
  }
  return [];
}
