"""placeholder"""


def convert(file, scale):
    raise NotImplementedError
