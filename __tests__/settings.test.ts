/** Each error in the settings is reported as one line that names the file, the section and the key. */
import { expect, test } from "vitest";
import { entrySettingsSchema, parseSettings } from "../src/index.js";

const validSettings = `[instance]
id = entry-1
dataCentre = north
[listen]
callers = 127.0.0.1:8080
peers = 127.0.0.1:8180
operators = 127.0.0.1:8280
[platform]
address = 127.0.0.1:9000
`;

const settingsErrorOf = (text: string): string => {
    try {
        parseSettings("entry.ini", text, entrySettingsSchema);
    }
    catch (error) {
        return (error as Error).message;
    }
    return "none";
};

test("good settings with defaults", () => {
    const settings = parseSettings("entry.ini", validSettings, entrySettingsSchema);
    expect(settings.limits.bodyBytes).toBe(16 * 1024 * 1024);
    expect(settings.peers.seeds).toEqual([]);
});

test("unknown section", () => {
    expect(settingsErrorOf(`${validSettings}[cluster]\nsize = 3\n`)).toBe(
        "entry.ini: unknown section cluster; expected instance, listen, platform, peers, limits, log",
    );
});

test("unknown key", () => {
    expect(settingsErrorOf(`${validSettings}adress = 1\n`)).toBe(
        "entry.ini: [platform]: unknown key adress; expected address",
    );
});

test("wrong type", () => {
    const message = settingsErrorOf(`${validSettings}[limits]\nbodyBytes = much\n`);
    expect(message).toBe("entry.ini: [limits] bodyBytes: expected a whole number of at least 1024");
});

test("missing address", () => {
    const message = settingsErrorOf(validSettings.replace("callers = 127.0.0.1:8080\n", ""));
    expect(message).toBe("entry.ini: [listen] callers: expected an address as host:port");
});

test("missing section", () => {
    const message = settingsErrorOf(validSettings.replace(/\[platform\][^]*/, ""));
    expect(message).toBe(
        "entry.ini: [platform]: the section is missing or is a plain key; expected a section with address",
    );
});

test("unknown key of a section with defaults", () => {
    expect(settingsErrorOf(`${validSettings}[limits]\nbytes = 5000\n`)).toBe(
        "entry.ini: [limits]: unknown key bytes; expected bodyBytes",
    );
});

test("unknown level", () => {
    const message = settingsErrorOf(`${validSettings}[log]\nlevel = loud\n`);
    expect(message).toBe("entry.ini: [log] level: expected one of debug, info, warn, error");
});
