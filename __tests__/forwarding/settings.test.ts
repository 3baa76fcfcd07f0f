/** The settings file as the platform fills it in. */
import { readFileSync } from "node:fs";
import path from "node:path";
import { expect, test } from "vitest";
import { forwardingSettingsSchema } from "../../src/adapters/forwarding/entrySettings.js";
import { parseNonNegativeNumber } from "../../src/utils/numbers.js";
import { parseSettings } from "../../src/utils/settings.js";

const template = readFileSync(path.resolve(import.meta.dirname, "../../platform/entry.ini"), "utf8");

const defaultFields: Record<string, string> = {
    node_name: "edge-north-1",
    zone: "north",
    ip: "10.1.0.40",
    "listen.front": "10.1.0.40:8227",
    "listen.ready": "10.1.0.40:8220",
    "listen.control": "10.1.0.40:7340",
    "port_range.1": "7341",
    seeds: "10.1.0.40:7340,10.2.0.29:7340",
    bootstrap: "true",
    "platform.address": "10.200.1.7:8223",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_extra": "100",
    "bounds.cold_overage": "1.5",
    "bounds.cold_extra": "5",
    "bounds.grace_s": "8",
    "limits.cpu_share": "0.675",
};

const parseFilledTemplate = (changes: Record<string, string> = {}, addition = "") => {
    const fields = { ...defaultFields, ...changes };
    const text = template.replace(/\{\{([^}]+)\}\}/g, (whole, name: string) => fields[name] ?? whole) + addition;
    return parseSettings("entry.ini", text, forwardingSettingsSchema);
};

test("unknown switch of the scheduling names its key", () => {
    expect(() => parseFilledTemplate({}, "\n[scheduling]\nranks = sometimes\n"))
        .toThrow("[scheduling] ranks: expected one of auto, on, off");
});

test("usual settings", () => {
    const settings = parseFilledTemplate();
    expect(settings.listen.metrics).toBe("10.1.0.40:7341");
    expect(settings.repeats).toEqual({ share: 0.2, windowSeconds: 10, extra: 100 });
    expect(settings.peers).toEqual({ seeds: ["10.1.0.40:7340", "10.2.0.29:7340"], firstStart: true });
});

test("memory and contracts, also of a platform that doesn't know them", () => {
    // The platform leaves placeholders that it doesn't know as they are; entries must start nevertheless.
    const settings = parseFilledTemplate({ "limits.memory_mb": "384", contracts: "pressure, other" });
    expect([settings.instance.memoryMegabytes, settings.contracts.names]).toEqual([384, ["pressure", "other"]]);
    expect(parseFilledTemplate().instance.memoryMegabytes).toBe(0);
    expect(parseFilledTemplate().instance.maximumDescriptors).toBe(4_200);
    expect(parseFilledTemplate({ "limits.max_fds": "900" }).instance.maximumDescriptors).toBe(900);
    expect(() => parseFilledTemplate({ "limits.memory_mb": "much" })).toThrow("[instance] memoryMegabytes");
});

test("platform that names no other entries", () => {
    expect(parseFilledTemplate({ seeds: "", bootstrap: "" }).peers).toEqual({ seeds: [], firstStart: false });
    expect(parseFilledTemplate({ bootstrap: "false" }).peers.firstStart).toBe(false);
});

test("fractions with many digits", () => {
    // The platform computes a bound by a division and writes all its digits. An entry that accepted only nine of them would
    // exit at each start, on all instances.
    const settings = parseFilledTemplate({
        "bounds.budget_extra": "50.806451612903224",
        "bounds.cold_overage": "1e-05",
    });
    expect(settings.repeats.extra).toBeCloseTo(50.806);
    expect(settings.cold.factor).toBe(0.00001);
});

test("bounds that the platform doesn't set", () => {
    const settings = parseFilledTemplate({
        "bounds.budget_extra": "",
        "bounds.cold_overage": "",
        "bounds.grace_s": "",
    });
    expect(settings.repeats.extra).toBe(50);
    expect(settings.cold.factor).toBe(1);
    expect(settings.stop.graceSeconds).toBe(8);
});

for (const value of ["-1", "ten", "1.", ".5", "1e999", "0x10", "NaN"]) {
    test(`no number: "${value}"`, () => {
        expect(parseNonNegativeNumber(value)).toBeUndefined();
        expect(() => parseFilledTemplate({ "bounds.budget_extra": value })).toThrow(/\[repeats\].*extra/);
    });
}
